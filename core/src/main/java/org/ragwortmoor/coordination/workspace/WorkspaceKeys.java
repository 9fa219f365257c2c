package org.ragwortmoor.coordination.workspace;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.statement.NameField;
import org.ragwortmoor.state.workspace.Workspace;

/** The names of the workspaces by the keys of their callers, for one revision of the routes. */
public final class WorkspaceKeys {
    /** The keys where no workspaces are configured. */
    public static final WorkspaceKeys NONE = new WorkspaceKeys(Option.none());

    private final Map<String, String> namesByKey = new HashMap<>();
    private final boolean required;

    /** Creates the lookup; none means that no workspaces are configured. */
    public WorkspaceKeys(Option<List<Workspace>> workspaces) {
        required = workspaces.isDefined();
        for (Workspace workspace : workspaces.getOrElse(List.of())) {
            workspace
                    .keys()
                    .forEach(key -> namesByKey.put(NameField.format(key), workspace.name()));
        }
    }

    /** Returns whether callers need a key. */
    public boolean required() {
        return required;
    }

    /** Returns the name of the workspace that has the key, given as a message field. */
    public Option<String> workspaceOf(String key) {
        return Option.of(namesByKey.get(key));
    }

    /** Returns a description without the keys, which must not appear in logs or dumps. */
    @Override
    public String toString() {
        return "WorkspaceKeys(required=" + required + " keys=" + namesByKey.size() + ")";
    }
}
