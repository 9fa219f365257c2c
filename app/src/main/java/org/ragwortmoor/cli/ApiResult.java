package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The result of a request to the API of a process.
 *
 * @param exitCode exit code of a command that only made this request
 * @param body answer; an empty object if there is none
 * @param message reason and remedy if the request was not carried out; otherwise empty
 */
public record ApiResult(ExitCode exitCode, JsonNode body, String message) {
    /** Returns whether the request was carried out. */
    public boolean done() {
        return exitCode == ExitCode.OK;
    }
}
