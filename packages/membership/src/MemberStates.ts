/** What is thought of a member. */
export const MEMBER_STATES = {
  AVAILABLE: 'available',
  /** Not reached by this VM nor through others. */
  SUSPECTED: 'suspected',
  /** Dropped by the platform's list, or replaced by a later incarnation. */
  GONE: 'gone',
} as const;
