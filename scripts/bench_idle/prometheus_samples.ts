/** Reads the Prometheus text of a daemon's own meters. */

/** One sample: its name with labels, and its value. */
export type Samples = ReadonlyMap<string, number>;

export function parseSamples(text: string): Samples {
  const samples = new Map<string, number>();
  for (const line of text.split("\n")) {
    if (line === "" || line.startsWith("#")) continue;
    const gap = line.lastIndexOf(" ");
    samples.set(line.slice(0, gap), Number(line.slice(gap + 1)));
  }
  return samples;
}

/** Sum of the samples whose name starts with `prefix` and holds every one of `labels`. */
export function sumSamples(
  samples: Samples,
  prefix: string,
  labels: readonly string[] = [],
): number {
  let sum = 0;
  for (const [name, value] of samples) {
    if (!name.startsWith(prefix)) continue;
    if (labels.every((label) => name.includes(label))) sum += value;
  }
  return sum;
}
