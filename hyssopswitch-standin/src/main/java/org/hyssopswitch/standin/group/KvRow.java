package org.hyssopswitch.standin.group;

import java.util.List;

record KvRow(String key, String value, long version) {

    List<String> cells() {
        return List.of(key, value, Long.toString(version));
    }
}
