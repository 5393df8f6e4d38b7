import type { OpenText } from "./OpenText.js";

/** Copies of a batch job's texts, in order of their items. */
export interface ReadTextsAnswer {
    texts: OpenText[];
    /** Further texts follow after the last of these. */
    hasMore?: boolean;
}
