/** Where a process finds its certificate, its key and the certificates of the authority, each as PEM. */
export interface TrustFiles {
    certPath: string;
    keyPath: string;
    /** May hold several, as it does while one authority replaces another. */
    caPath: string;
}
