import java.nio.file.Path;
import java.util.Map;

/** Runs one case: its name, the file for its record and the folder of the repository are the arguments. */
public final class Cases {

    private static final int COULD_NOT_RUN = 2;

    private static final Map<String, Case> CASES = Map.of(
            "LostInPlannedRelease", LostInPlannedRelease::run,
            "LostUnderPartialCut", LostUnderPartialCut::run,
            "LargeAnswerAtStop", LargeAnswerAtStop::run,
            "WriteRunTwiceByStutter", WriteRunTwiceByStutter::run,
            "KeyMovedInTransaction", KeyMovedInTransaction::run);

    private Cases() {}

    public static void main(String[] args) {
        int status = COULD_NOT_RUN;
        try {
            Record.open(Path.of(args[1]));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Record.line("case %s trouble=%s", args[0], trouble);
            Deployment deployment = new Deployment(Path.of(args[2]));
            try {
                status = CASES.get(args[0]).run(deployment, trouble);
            } finally {
                deployment.close();
            }
            Record.line("exit %d", status);
        } catch (Throwable e) {
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        System.exit(status);
    }

    private interface Case {

        /** Returns 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
        int run(Deployment deployment, boolean trouble) throws Exception;
    }
}
