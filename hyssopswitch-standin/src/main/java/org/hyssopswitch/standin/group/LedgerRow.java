package org.hyssopswitch.standin.group;

import java.util.List;

record LedgerRow(String account, String request, long amount) {

    List<String> cells() {
        return List.of(account, request, Long.toString(amount));
    }
}
