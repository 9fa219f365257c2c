package org.ragwortmoor.coordination.session;

/**
 * What is known in advance of the successful answer to a statement.
 *
 * @param signed whether it has a signature
 * @param state transaction state after the statement
 */
record ExpectedAnswer(boolean signed, String state) {
    /**
     * Returns the answer to a statement of a caller, which only a server can execute.
     *
     * @param stateBefore transaction state before the statement
     */
    static ExpectedAnswer toCaller(String text, String stateBefore) {
        return new ExpectedAnswer(true, text.equals("COMMIT") ? ExchangeResult.IDLE : stateBefore);
    }

    /**
     * Returns the answer to a statement that the proxy issues itself.
     *
     * @param stateBefore transaction state before the statement
     */
    static ExpectedAnswer toProxy(String text, String stateBefore) {
        boolean begins = text.equals("BEGIN") || text.startsWith("AFTER ");
        if (begins) {
            return new ExpectedAnswer(false, ExchangeResult.IN_TRANSACTION);
        }
        return new ExpectedAnswer(
                false, text.equals("ROLLBACK") ? ExchangeResult.IDLE : stateBefore);
    }
}
