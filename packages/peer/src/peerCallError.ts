/** A call to a peer that ended without an answer; `sent` is true when it may have reached the peer. */
export class PeerCallError extends Error {
  constructor(
    readonly sent: boolean,
    message: string,
  ) {
    super(message);
  }
}
