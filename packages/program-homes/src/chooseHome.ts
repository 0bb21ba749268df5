/** What came of asking a home. */
export interface HomeAnswer {
  readonly address: string;
  /** Whether the home has not answered. */
  readonly isSilent: boolean;
  /** The address of the owner that it named instead of serving. */
  readonly named: string | undefined;
}

/** The home to ask next. */
export interface HomeChoice {
  readonly address: string;
  /** Whether it is to serve although it takes another one for the owner. */
  readonly isInsisting: boolean;
}

/**
 * Chooses the home to ask after those that did not serve; nothing when none is left. After a loss
 * of many VMs the views of the owner differ for a while. Two homes of one program only hinder each
 * other, so one that is not the owner in its own eyes has to serve only when the owner that it
 * names is silent, or names it in turn.
 */
export function chooseHome(
  owners: readonly string[],
  answers: readonly HomeAnswer[],
): HomeChoice | undefined {
  const latest = answers.at(-1);
  const isSilent = (address: string): boolean =>
    answers.some((answer) => answer.address === address && answer.isSilent);
  const isAsked = (address: string): boolean =>
    answers.some((answer) => answer.address === address);
  if (latest?.named !== undefined) {
    const address = isSilent(latest.named) ? latest.address : latest.named;
    return { address, isInsisting: isAsked(address) };
  }
  const address =
    owners.find((owner) => !isAsked(owner)) ?? owners.find((owner) => !isSilent(owner));
  return address === undefined ? undefined : { address, isInsisting: false };
}
