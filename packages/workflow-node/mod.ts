/** One node of cairngate for workflows. */
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
