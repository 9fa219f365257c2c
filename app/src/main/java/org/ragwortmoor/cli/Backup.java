package org.ragwortmoor.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import org.kohsuke.args4j.Argument;
import org.ragwortmoor.backup.ControlBackup;
import org.ragwortmoor.backup.PrivateFiles;

/** Takes the replicated control state from the control leader into a new file. */
final class Backup extends ApiCommand {
    @Argument(metaVar = "FILE", required = true, usage = "new file, readable by its owner only")
    private Path file;

    @Override
    ApiResult request(ApiClient client, Console console) {
        if (Files.exists(file)) {
            return failure(file + " exists; name a new file");
        }
        ApiResult answer = client.get("/v1/backup");
        if (!answer.done()) {
            return answer;
        }
        byte[] content;
        try {
            content = Base64.getDecoder().decode(answer.body().path("body").path("file").asText());
        } catch (IllegalArgumentException e) {
            return failure("the answer is damaged; try again");
        }
        Either<String, ControlBackup> backup = ControlBackup.decode(content);
        if (backup.isLeft()) {
            return failure("the answer is damaged (" + backup.getLeft() + "); try again");
        }
        try {
            PrivateFiles.create(file, content);
        } catch (FileAlreadyExistsException e) {
            return failure(file + " exists; name a new file");
        } catch (IOException | UnsupportedOperationException e) {
            return failure(file + " cannot be written (" + e + "); choose another folder");
        }
        return new ApiResult(
                ExitCode.OK,
                Console.object()
                        .put("file", file.toString())
                        .put("bytes", content.length)
                        .put("node", backup.get().node())
                        .put("index", backup.get().index())
                        .put("rulesVersion", backup.get().state().rules().version())
                        .put("groups", backup.get().state().groups().size()),
                "");
    }

    private static ApiResult failure(String message) {
        return new ApiResult(ExitCode.ENVIRONMENT, Console.object(), message);
    }
}
