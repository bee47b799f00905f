/** Runs boxes and stand-ins as local processes that talk over loopback. */
export { type ClusterOptions, LocalCluster } from "./src/local_cluster.ts";
export { ClusterClient, type ClusterReply } from "./src/cluster_client.ts";
export { type DeploymentSize, makeDeployment } from "./src/make_deployment.ts";
export { parseMetrics } from "./src/parse_metrics.ts";
