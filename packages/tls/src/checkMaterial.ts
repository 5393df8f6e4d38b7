import { X509Certificate } from "node:crypto";
import { createSecureContext } from "node:tls";
import type { TrustMaterial } from "./TrustMaterial.js";

/** Returns when the certificate expires; throws if one of the three is unusable or the key is not the certificate's. */
export function checkMaterial(material: TrustMaterial): Date {
    createSecureContext(material);
    // Throws if there is no authority: TLS would use the public authorities and accept foreign processes as peers.
    new X509Certificate(material.ca);
    return new Date(new X509Certificate(material.cert).validTo);
}
