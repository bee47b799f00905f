/** Shared data types, which every other package may import. */
export * from "./src/config.ts";
export * from "./src/decision.ts";
export * from "./src/feature_mode.ts";
export * from "./src/job.ts";
export * from "./src/peer.ts";
export * from "./src/worker.ts";
