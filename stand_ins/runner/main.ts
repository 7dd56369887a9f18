/** Entry point; the parts behind it follow in the next commits. */
export {};
