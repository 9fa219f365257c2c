package org.ragwortmoor.state.workspace;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The difference between the workspaces of two configurations.
 *
 * @param removed names of the workspaces that are no longer there
 * @param changed workspaces that are new or have changed
 */
public record WorkspaceChanges(List<String> removed, List<Workspace> changed) {
    /** Copies the lists. */
    public WorkspaceChanges {
        removed = List.copyOf(removed);
        changed = List.copyOf(changed);
    }

    /** Returns the difference between two lists of workspaces. */
    public static WorkspaceChanges between(List<Workspace> from, List<Workspace> to) {
        Map<String, Workspace> known = byName(from);
        List<Workspace> changed = new ArrayList<>();
        for (Workspace workspace : to) {
            if (!workspace.equals(known.remove(workspace.name()))) {
                changed.add(workspace);
            }
        }
        return new WorkspaceChanges(List.copyOf(known.keySet()), changed);
    }

    /** Returns the workspaces after these changes. */
    public List<Workspace> applyTo(List<Workspace> workspaces) {
        Map<String, Workspace> result = byName(workspaces);
        removed.forEach(result::remove);
        changed.forEach(workspace -> result.put(workspace.name(), workspace));
        return List.copyOf(result.values());
    }

    private static Map<String, Workspace> byName(List<Workspace> workspaces) {
        Map<String, Workspace> result = new LinkedHashMap<>();
        workspaces.forEach(workspace -> result.put(workspace.name(), workspace));
        return result;
    }
}
