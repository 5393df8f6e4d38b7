import { readFile } from "node:fs/promises";
import type { TrustFiles } from "./TrustFiles.js";
import type { TrustMaterial } from "./TrustMaterial.js";

/** Reads the files without checking them; rejects if one cannot be read. */
export async function readMaterial(files: TrustFiles): Promise<TrustMaterial> {
    const [cert, key, ca] = await Promise.all(
        [files.certPath, files.keyPath, files.caPath].map(path => readFile(path, "utf8")),
    );
    return { cert: cert!, key: key!, ca: ca! };
}
