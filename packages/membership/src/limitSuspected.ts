import type { EntryView } from "./EntryView.js";

/**
 * Takes back the suspicion of those heard last where more than `maxRatio` of all are suspected. If most others
 * seem dead, it is likelier that this process is cut off; with nobody left it could neither spread nor learn.
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
