/** A cairngate process on one box that accepts, coordinates and runs workflows. */
export type { MemberRow } from "./src/member_book.ts";
export {
  type NodeFeeds,
  WorkflowNode,
  type WorkflowNodePorts,
} from "./src/workflow_node.ts";
export {
  type StopOptions,
  stopOrderly,
  type StopSteps,
} from "./src/orderly_stop.ts";
