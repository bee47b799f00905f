/** One box: configuration, membership, cell owners and entry over ports. */
export { Box, type BoxDump, type BoxPorts } from "./src/box.ts";
export {
  type ApplyRequest,
  ConfigKeeper,
  type VersionSummary,
} from "./src/config_keeper.ts";
