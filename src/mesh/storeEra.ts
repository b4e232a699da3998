/**
 * Era of the store: it rises each time that the store comes back from an older copy. Revisions of
 * two eras belong to different histories and cannot be compared.
 */

/** Called after the era has risen. */
export type EraListener = (era: number, previous: number) => void;

/** Latest era that this node has seen. */
export class StoreEra {
  /** 0 until the first response that names an era. */
  private current = 0;

  private readonly listeners: EraListener[] = [];

  get(): number {
    return this.current;
  }

  /** Registers a listener that is called whenever the era has risen. */
  onRise(listener: EraListener): void {
    this.listeners.push(listener);
  }

  /** Records an era that the store or another node has named. */
  observe(era: number): void {
    if (era <= this.current) return;
    const previous = this.current;
    this.current = era;
    for (const listener of this.listeners) listener(era, previous);
  }
}
