import type { EntryView } from "./EntryView.js";

/**
 * Lifts the suspicion of the entries with the latest signs of life if more than `maxRatio` of all are suspected. If
 * most others seem down, this process is more likely disconnected itself; without any peer it could neither send nor
 * receive changes.
 */
export function limitSuspected(views: EntryView[], maxRatio: number): EntryView[] {
    const allowed = Math.max(1, Math.floor(views.length * maxRatio));
    const suspected = views.filter(view => view.suspected);
    if (suspected.length > allowed) {
        suspected.sort((a, b) => b.ageMs - a.ageMs).slice(allowed).forEach(view => {
            view.suspected = false;
        });
    }
    return views;
}
