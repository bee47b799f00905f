/** Modes of optional features of a deployment. */

/** Mode of an optional feature. */
export enum FeatureMode {
  Off = "off",
  /** Enabled while the configuration or the observed load requires it. */
  Auto = "auto",
  On = "on",
}

/** Modes of the features for hard load, as set by an operator. */
export interface HardLoadSettings {
  /** For teams of very different sizes that compete for scarce capacity. */
  readonly competingTeams: FeatureMode;
  /** For endpoints of very different speeds. */
  readonly unevenEndpoints: FeatureMode;
}

/** Settings with all features for hard load disabled. */
export const HARD_LOAD_OFF: HardLoadSettings = {
  competingTeams: FeatureMode.Off,
  unevenEndpoints: FeatureMode.Off,
};
