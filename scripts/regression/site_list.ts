/** The list of site files that the regression run scores. */
import { parse } from "smol-toml";
import { z } from "zod";

const siteListSchema = z.strictObject({
  site: z.array(z.strictObject({
    /** Relative to the folder of the site files. */
    file: z.string().min(1),
    /** Days played at the same time. */
    jobs: z.int().min(1),
  })).min(1),
});

export type Site = z.infer<typeof siteListSchema>["site"][number];

/** Throws when the text is not a valid list. */
export function parseSiteList(text: string): readonly Site[] {
  return siteListSchema.parse(parse(text)).site;
}
