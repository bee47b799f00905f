/** Runs boxes and stand-ins as local processes that talk over loopback. */
export { type ClusterOptions, LocalCluster } from "./src/local_cluster.ts";
export { ClusterClient, type JobReply } from "./src/cluster_client.ts";
export { type DeploymentShape, makeDeployment } from "./src/make_deployment.ts";
export { readMetrics } from "./src/read_metrics.ts";
