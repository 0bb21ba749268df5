/** The outcome of a reservation request that a home did not serve. */
export interface HomeAttempt {
  readonly address: string;
  /** Whether the home sent no response. */
  readonly isUnresponsive: boolean;
  /** Address of the member that the home considers the owner, if it reported one. */
  readonly namedOwner: string | undefined;
}

/** The home to send the next request to. */
export interface HomeChoice {
  readonly address: string;
  /** Whether the home must serve the request even if it considers another member the owner. */
  readonly isInsisting: boolean;
}

/**
 * Chooses the home to try after earlier attempts failed; undefined when no home is left. After the
 * loss of many VMs, members disagree for a while about the owner of a partition. Two homes that
 * serve the same program conflict with each other. A home that does not consider itself the owner
 * is therefore forced to serve only if the owner that it names is unresponsive or names it in turn.
 */
export function chooseHome(
  owners: readonly string[],
  attempts: readonly HomeAttempt[],
): HomeChoice | undefined {
  const latest = attempts.at(-1);
  const isKnownUnresponsive = (address: string): boolean =>
    attempts.some((attempt) => attempt.address === address && attempt.isUnresponsive);
  const wasTried = (address: string): boolean =>
    attempts.some((attempt) => attempt.address === address);
  if (latest?.namedOwner !== undefined) {
    const address = isKnownUnresponsive(latest.namedOwner) ? latest.address : latest.namedOwner;
    return { address, isInsisting: wasTried(address) };
  }
  const address =
    owners.find((owner) => !wasTried(owner)) ?? owners.find((owner) => !isKnownUnresponsive(owner));
  return address === undefined ? undefined : { address, isInsisting: false };
}
