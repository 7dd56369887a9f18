/** Factors for converting between units. */

export const MS_PER_SECOND = 1_000;
export const MS_PER_MINUTE = 60_000;
export const MS_PER_HOUR = 3_600_000;
export const MS_PER_DAY = 86_400_000;
export const BYTES_PER_KIB = 1_024;
export const BYTES_PER_MIB = 1_048_576;
export const MILLIPROCESSORS_PER_PROCESSOR = 1_000;
