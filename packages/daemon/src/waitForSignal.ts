/** Resolves at the first SIGTERM or SIGINT; a second one ends the process at once by the default action. */
export function waitForSignal(): Promise<void> {
    return new Promise(resolve => {
        const onSignal = (): void => {
            process.removeListener("SIGTERM", onSignal);
            process.removeListener("SIGINT", onSignal);
            resolve();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    });
}
