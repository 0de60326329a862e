/**
 * Limits the bytes that are held for several purposes together.
 *
 * @module
 */

/** A limit, and what is held of it. */
export interface ByteBudget {
  /**
   * Holds bytes if there is room for them.
   *
   * @param bytes Number of bytes.
   * @returns A function that releases them, once; undefined without room.
   */
  tryHold(bytes: number): (() => void) | undefined;
  /** @returns Bytes that are held. */
  getHeldBytes(): number;
}

/**
 * @param limitBytes Bytes that may be held at a time.
 * @returns A budget of which nothing is held.
 */
export function createByteBudget(limitBytes: number): ByteBudget {
  let heldBytes = 0;
  return {
    tryHold(bytes) {
      if (heldBytes + bytes > limitBytes) return undefined;
      heldBytes += bytes;
      let isHeld = true;
      return () => {
        if (isHeld) heldBytes -= bytes;
        isHeld = false;
      };
    },
    getHeldBytes: () => heldBytes,
  };
}
