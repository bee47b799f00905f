/** Whether a feature that a deployment may ask for is used. */

/** Use of a feature. */
export enum FeatureUse {
  Off = "off",
  /** Used while the configuration, or what is seen of the fleet, calls for it. */
  Auto = "auto",
  On = "on",
}

/** Features for hard load, as an operator sets them. */
export interface HardLoadSettings {
  /** Teams of very different size compete for too little room. */
  readonly competingTeams: FeatureUse;
  /** Endpoints differ much in speed. */
  readonly unevenEndpoints: FeatureUse;
}

/** No feature for hard load is used. */
export const HARD_LOAD_OFF: HardLoadSettings = {
  competingTeams: FeatureUse.Off,
  unevenEndpoints: FeatureUse.Off,
};
