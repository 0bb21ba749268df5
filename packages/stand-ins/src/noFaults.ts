import type { PlatformFaults, TargetFaults } from './Types.js';

/** Faults of a platform that works normally. */
export const NO_PLATFORM_FAULTS: PlatformFaults = {
  logOutage: false,
  logDelayMs: 0,
  loseAnswers: 0,
  loseAnswersProbability: 0,
  seed: 1,
  vmListFrozen: false,
  vmListLagMs: null,
  retentionMs: null,
};

/** Faults of a target that works normally. */
export const NO_TARGET_FAULTS: TargetFaults = {
  crashOnText: null,
  stallStreams: false,
  refuse: false,
  delayMs: 0,
  status: null,
  hang: false,
  dropAfterChunks: null,
  loseAnswers: 0,
  leaving: false,
};
