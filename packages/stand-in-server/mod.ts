/** Serves the stand-in platform and stand-in workers over HTTP. */
export { serveStandIns, type StandInServer } from "./src/serve_stand_ins.ts";
