/** One node of cairngate for workflows. */
export type { MemberRow } from "./src/member_book.ts";
export {
  type NodeFeeds,
  WorkflowNode,
  type WorkflowNodePorts,
} from "./src/workflow_node.ts";
