/** The daemon `cairngated`, which runs one box as a process. */
export {
  type RunningDaemon,
  startDaemon,
  type StartOptions,
} from "./src/start_daemon.ts";
