/** What a viewer asks: the same over every protocol. */
export interface Question {
  /** The title. */
  readonly title: string;
  /** The class that it is asked as; names a route of the front. */
  readonly class: string;
  /** The most that the viewer can use, kbit/s; without it: anything. */
  readonly ceiling?: number | undefined;
  /** The viewer waits so long for each answer, in milliseconds. */
  readonly patience_ms: number;
  /** Asking twice does no harm, even where the first time may have been heard. */
  readonly repeatable?: boolean | undefined;
}

/** What came of a question: the same words over every protocol. */
export type Outcome =
  /** It plays, at this box as the front names it, and at this many kbit/s at most; '' and 0: the front did not say. */
  | { readonly kind: 'plays'; readonly at: string; readonly rung: number }
  /** Refused; to come back after so long, in milliseconds, if that was advised. */
  | { readonly kind: 'refused'; readonly come_back_ms: number | null }
  /** Turned down, or failed for good; status 0: an answer that breaks the protocol. */
  | { readonly kind: 'failed'; readonly status: number }
  /** Nothing was sent: no front was reached. */
  | { readonly kind: 'not_sent' }
  /** Sent, and no answer came in time, or the connection broke: what became of it is not known. */
  | { readonly kind: 'not_known' }
  /** The viewer took it back. */
  | { readonly kind: 'cancelled' };
