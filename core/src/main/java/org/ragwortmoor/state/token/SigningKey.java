package org.ragwortmoor.state.token;

import java.util.Base64;

/**
 * A key that signs and verifies session tokens.
 *
 * @param id identifier of the key, which tokens contain
 * @param secretBase64 base64 encoding of a secret of at least {@link #MIN_SECRET_BYTES} bytes
 */
public record SigningKey(int id, String secretBase64) {
    /** Minimum length of a secret; one shorter than the output of SHA-256 weakens the signature. */
    public static final int MIN_SECRET_BYTES = 32;

    /**
     * Validates the secret.
     *
     * @throws IllegalArgumentException if the secret is not valid base64 or too short
     */
    public SigningKey {
        if (Base64.getDecoder().decode(secretBase64).length < MIN_SECRET_BYTES) {
            throw new IllegalArgumentException(
                    "the secret of key " + id + " is shorter than " + MIN_SECRET_BYTES + " bytes");
        }
    }

    byte[] secret() {
        return Base64.getDecoder().decode(secretBase64);
    }

    @Override
    public String toString() {
        return "SigningKey[id=" + id + "]";
    }
}
