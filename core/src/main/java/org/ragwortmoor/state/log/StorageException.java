package org.ragwortmoor.state.log;

import java.io.IOException;

/** Carries a {@link StorageError} from a {@link Storage} to {@link DurableLog}. */
public final class StorageException extends IOException {
    private static final long serialVersionUID = 1L;

    private final transient StorageError error;

    /** Creates the exception for {@code error}. */
    public StorageException(StorageError error) {
        super(error.message());
        this.error = error;
    }

    /** Creates the exception with a cause from the operating system. */
    public StorageException(StorageError error, IOException cause) {
        super(error.message(), cause);
        this.error = error;
    }

    /** Returns the typed error. */
    public StorageError error() {
        return error;
    }

    static StorageException of(StorageErrorKind kind, String file, long offset, String detail) {
        return new StorageException(new StorageError(kind, file, offset, detail));
    }
}
