/** Parses and sums metrics in Prometheus text format, as an entry serves them at `/v1/metrics`. */

/** Sample values by name with labels, written as in the text. */
export type Samples = ReadonlyMap<string, number>;

/** Parses all samples of the text; comments and empty lines are skipped. */
export function parseSamples(text: string): Samples {
  const samples = new Map<string, number>();
  for (const line of text.split("\n")) {
    if (line === "" || line.startsWith("#")) continue;
    const separatorIndex = line.lastIndexOf(" ");
    samples.set(
      line.slice(0, separatorIndex),
      Number(line.slice(separatorIndex + 1)),
    );
  }
  return samples;
}

/** Sum of the samples whose name starts with `prefix` and contains every one of `labels`. */
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
