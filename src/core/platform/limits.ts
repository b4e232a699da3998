/** Largest value that the platform accepts, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576;
