/** One box: configuration, membership, cell owners and request entry. */
export { Box, type BoxDump, type BoxPorts } from "./src/box.ts";
export {
  type ApplyRequest,
  ConfigManager,
  type VersionSummary,
} from "./src/config_manager.ts";
