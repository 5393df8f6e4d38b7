import { fileURLToPath } from "node:url";

/** Folder of the shipped scenarios, with a slash at its end; the same from `src` and from `dist`. */
export const shippedFolder = fileURLToPath(new URL("../../../../bench/scenarios/", import.meta.url));
