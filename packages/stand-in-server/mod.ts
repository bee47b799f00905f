/** The stand-ins as a program: platform and workers over HTTP. */
export { serveStandIns, type StandInServer } from "./src/serve_stand_ins.ts";
