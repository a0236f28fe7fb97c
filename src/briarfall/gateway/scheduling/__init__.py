"""Which requests go first when there is too little room for all."""
