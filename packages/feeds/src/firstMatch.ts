/** Resolves once `isMatch` holds after one of the promises has settled, or all have. None of them may reject. */
export function firstMatch(pending: Promise<void>[], isMatch: () => boolean): Promise<void> {
    return new Promise(resolve => {
        let left = pending.length;
        const onSettled = (): void => {
            left--;
            if (left === 0 || isMatch()) {
                resolve();
            }
        };
        if (left === 0) {
            resolve();
        }
        pending.forEach(each => void each.then(onSettled));
    });
}
