/** The states of a member, as seen by this process. */
export const MEMBER_STATES = {
  AVAILABLE: 'available',
  /** Reached neither by this VM nor through other members. */
  SUSPECTED: 'suspected',
  /** Dropped from the platform's list. */
  GONE: 'gone',
} as const;
