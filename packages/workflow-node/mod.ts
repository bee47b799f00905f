/** A cairngate process on one box that accepts, coordinates and runs workflows. */
export type { MemberRow } from "./src/member_registry.ts";
export {
  type NodeFeeds,
  WorkflowNode,
  type WorkflowNodePorts,
} from "./src/workflow_node.ts";
export {
  shutDownGracefully,
  type ShutdownOptions,
  type ShutdownSteps,
} from "./src/graceful_shutdown.ts";
