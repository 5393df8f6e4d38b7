/** Paths of a process's certificate, its key and the certificates of the authority, each in PEM format. */
export interface TrustFiles {
    certPath: string;
    keyPath: string;
    /** May contain several certificates, as it does while one authority replaces another. */
    caPath: string;
}
