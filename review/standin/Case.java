import java.nio.file.Path;

/** Runs a case on a deployment and exits: 10 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Case {

    static final int HELD = 0;
    static final int BROKEN = 10;
    static final int NOT_RUN = 2;

    /** Sets up the store and the servers of a deployment. */
    interface Setup {
        void accept(Deployment deployment) throws Exception;
    }

    /** Plays a case and returns its exit code. */
    interface Play {
        int run(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    private Case() {}

    /**
     * Runs a case.
     *
     * @param arguments the repository, the folder of the case, and "0" for a run without the disruption
     * @param memoryMb the memory that the settings of an instance name
     */
    static void run(String[] arguments, int memoryMb, Setup setup, Play play) {
        boolean trouble = !arguments[2].equals("0");
        int code = NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
                Deployment deployment = new Deployment(Path.of(arguments[0]), record)) {
            setup.accept(deployment);
            if (deployment.start(memoryMb)) {
                code = play.run(deployment, record, trouble);
            }
        } catch (Throwable e) {
            e.printStackTrace();
            code = NOT_RUN;
        }
        System.exit(code);
    }
}
