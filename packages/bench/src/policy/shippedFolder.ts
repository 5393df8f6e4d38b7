import { fileURLToPath } from "node:url";

/** Folder of the shipped scenarios, with a trailing slash; the relative path is the same from `src` and `dist`. */
export const shippedFolder = fileURLToPath(new URL("../../../../bench/scenarios/", import.meta.url));
