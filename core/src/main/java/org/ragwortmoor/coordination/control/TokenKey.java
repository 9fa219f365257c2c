package org.ragwortmoor.coordination.control;

/**
 * A key that authenticates session tokens.
 *
 * @param id identifier that tokens carry
 * @param secretBase64 secret of 32 bytes in base64
 */
public record TokenKey(int id, String secretBase64) {
    @Override
    public String toString() {
        return "TokenKey[id=" + id + "]";
    }
}
