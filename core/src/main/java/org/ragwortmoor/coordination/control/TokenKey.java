package org.ragwortmoor.coordination.control;

/**
 * A key for the authentication of session tokens.
 *
 * @param id identifier of the key, contained in the tokens
 * @param secretBase64 secret of 32 bytes, encoded in base64
 */
public record TokenKey(int id, String secretBase64) {
    @Override
    public String toString() {
        return "TokenKey[id=" + id + "]";
    }
}
