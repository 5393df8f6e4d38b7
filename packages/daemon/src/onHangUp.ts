/** Calls `run` at each SIGHUP; returns a function that ends this. */
export function onHangUp(run: () => void): () => void {
    process.on("SIGHUP", run);
    return () => void process.removeListener("SIGHUP", run);
}
