/** One node of cairngate for workflows. */
export {
  type NodeFeeds,
  WorkflowNode,
  type WorkflowNodePorts,
} from "./src/workflow_node.ts";
