package org.ragwortmoor.state.routes;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.state.workspace.Workspace;

/**
 * Rejects a key that two workspaces share, and two workspaces of one name.
 *
 * <p>A caller would not belong to one workspace, and changes identify a workspace by its name. The
 * problem names the workspaces only, because keys are secret.
 */
final class UnsharedKeys implements RouteTableCheck {
    @Override
    public Option<String> problem(RouteTable table) {
        Map<String, String> owners = new HashMap<>();
        Set<String> names = new HashSet<>();
        for (Workspace workspace : table.workspaces().getOrElse(List.of())) {
            if (!names.add(workspace.name())) {
                return Option.some(
                        "two workspaces have the name '" + workspace.name() + "'; rename one");
            }
            for (String key : workspace.keys()) {
                String other = owners.put(key, workspace.name());
                if (other != null && !other.equals(workspace.name())) {
                    return Option.some(
                            "workspaces '"
                                    + other
                                    + "' and '"
                                    + workspace.name()
                                    + "' share a key; remove it from one of them");
                }
            }
        }
        return Option.none();
    }
}
